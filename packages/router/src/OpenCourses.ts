import type { Course } from './Course.js';

/** The requests that have been admitted and not answered, with their number for each account. */
export class OpenCourses<Body, Answer> {
  private readonly courses = new Set<Course<Body, Answer>>();

  private readonly byAccount = new Map<string, number>();

  public get size(): number {
    return this.courses.size;
  }

  public get all(): Course<Body, Answer>[] {
    return [...this.courses];
  }

  public countOf(account: string): number {
    return this.byAccount.get(account) ?? 0;
  }

  public add(course: Course<Body, Answer>): void {
    this.courses.add(course);
    this.change(course.ticket.account, 1);
  }

  public remove(course: Course<Body, Answer>): void {
    if (this.courses.delete(course)) {
      this.change(course.ticket.account, -1);
    }
  }

  private change(account: string, by: number): void {
    const count = this.countOf(account) + by;
    if (count === 0) {
      this.byAccount.delete(account);
    } else {
      this.byAccount.set(account, count);
    }
  }
}

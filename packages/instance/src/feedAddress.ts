const coresField = 'cores';
const anyHost = 'ws://host';

/** Address under which a follower of so many cores connects to the feed at `host:port`. */
export function feedUrl(feedAddress: string, cores: number): string {
  return `ws://${feedAddress}/?${coresField}=${cores}`;
}

/** Cores that a follower told of itself; 0: none that can be read. */
export function followerCores(path: string | undefined): number {
  const cores = Number(new URL(path ?? '/', anyHost).searchParams.get(coresField));
  return Number.isFinite(cores) && cores > 0 ? cores : 0;
}

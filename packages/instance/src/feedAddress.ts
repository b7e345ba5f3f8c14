const coresField = 'cores';
const anyHost = 'ws://host';

/** URL with which a follower with `cores` cores connects to the feed at `host:port`. */
export function feedUrl(feedAddress: string, cores: number): string {
  return `ws://${feedAddress}/?${coresField}=${cores}`;
}

/** Cores that a follower reports in its URL; 0 if missing or invalid. */
export function followerCores(path: string | undefined): number {
  const cores = Number(new URL(path ?? '/', anyHost).searchParams.get(coresField));
  return Number.isFinite(cores) && cores > 0 ? cores : 0;
}

const coresField = 'cores';
const anyHost = 'ws://host';
/** Cores beyond which a report is held to be wrong. */
const maxCores = 100_000;
/** Host and port, without the characters that begin another part of a URL. */
const addressPattern = /^[^/?#@\\\s]+:\d{1,5}$/;

/** URL with which a follower with `cores` cores connects to the feed at `host:port`. */
export function feedUrl(feedAddress: string, cores: number): string {
  return `ws://${feedAddress}/?${coresField}=${cores}`;
}

/** Cores that a follower reports in its URL; 0 if missing or invalid. */
export function followerCores(path: string | undefined): number {
  const url = path ?? '/';
  if (!URL.canParse(url, anyHost)) {
    return 0;
  }
  const cores = Number(new URL(url, anyHost).searchParams.get(coresField));
  return cores > 0 && cores <= maxCores ? cores : 0;
}

/** Whether this is `host:port` of a feed to which a connection can be made. */
export function isFeedAddress(text: string): boolean {
  const url = `ws://${text}/`;
  return addressPattern.test(text) && URL.canParse(url);
}

export const msPerSecond = 1_000;

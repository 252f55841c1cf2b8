/** Calls back after some time, in ms. Returns what cancels it. */
export type Schedule = (delayMs: number, callback: () => void) => () => void;

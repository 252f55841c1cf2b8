/** Calls a callback once after a delay, in ms. Returns a function that cancels the call. */
export type Schedule = (delayMs: number, callback: () => void) => () => void;

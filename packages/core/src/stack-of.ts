/** Returns the stack of what was thrown, for the log. Pure. */
export const stackOf = (error: unknown): string => error instanceof Error ? error.stack ?? error.message : String(error);

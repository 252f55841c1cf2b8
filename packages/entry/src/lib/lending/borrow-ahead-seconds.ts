/** A host with steady demand borrows this many seconds of its own demand beyond what the waiting requests lack. */
export const borrowAheadSeconds = 1.5;

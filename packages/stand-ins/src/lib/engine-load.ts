/** How many streams an engine runs, and how many wait. */
export type EngineLoad = {readonly running: number; readonly queued: number};

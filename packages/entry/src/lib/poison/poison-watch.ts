import type {LostRun} from './lost-run.js';

/** Finds the requests that end the endpoints that run them. */
export type PoisonWatch = {
	readonly runLost: (run: LostRun) => void;
};

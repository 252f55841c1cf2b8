import type {TargetShare} from './target-share.js';

/** How the starts of one priority are shared among organisations, by the target that they ask for. */
export type PriorityShare = {
	/** When the request that was started last had been due. It never falls. */
	readonly virtualTime: number;
	readonly targets: ReadonlyMap<string, TargetShare>;
};

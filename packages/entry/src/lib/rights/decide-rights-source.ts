import type {RightsSource} from './rights-source.js';

/** The order in which the sources of rights are tried. Each source is tried once for a request. */
const sourceOrder: readonly RightsSource[] = ['allocators', 'store', 'holders'];

type Inputs = {
	/** The source that was tried last for the request; `undefined` before the first. */
	readonly lastSource: RightsSource | undefined;
	/** Whether this host is shutting down. It then borrows nothing more. */
	readonly isRetiring: boolean;
	/** Whether this host is an allocator of the budget: it draws the budget's rights from the store itself. */
	readonly isAllocator: boolean;
	/** Whether an allocator replied that reaches the store. It has drawn what the store had, and a second writer would only conflict with it. */
	readonly hasReachedStore: boolean;
	/** Whether a draw from the store may bring tokens now. */
	readonly mayDraw: boolean;
};

/** Decides which source of rights is tried next for a request that lacks rights; `undefined` when no source is left. Pure. */
export const decideRightsSource = ({lastSource, isRetiring, isAllocator, hasReachedStore, mayDraw}: Inputs): RightsSource | undefined => {
	const isOpen: Readonly<Record<RightsSource, boolean>> = {
		allocators: !isRetiring && !isAllocator,
		store: !hasReachedStore && mayDraw,
		holders: !isRetiring,
	};
	const laterSources = lastSource === undefined ? sourceOrder : sourceOrder.slice(sourceOrder.indexOf(lastSource) + 1);
	return laterSources.find(source => isOpen[source]);
};

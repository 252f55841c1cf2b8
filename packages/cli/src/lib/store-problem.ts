import type {StoreError} from '@deckwheel/store-client';

/** What a store error means to an operator, and what to do. */
export const storeProblem: Readonly<Record<StoreError, string>> = {
	conflict: 'Somebody else changed it at the same time. Look at what is there now, then try again.',
	missing: 'There is no such object in the platform\'s store.',
	unavailable: 'The platform cannot be reached. Nothing was changed; try again later.',
	unknown: 'The platform did not answer. The change may have taken effect: run the same command again, it is safe to repeat.',
};

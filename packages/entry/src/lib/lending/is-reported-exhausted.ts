import {maxProofAgeMs} from '../rights/max-proof-age-ms.js';
import type {ReportedLeft} from './reported-left.js';

type Inputs = {
	/** What an allocator last reported; `undefined` if none did. */
	readonly left: ReportedLeft | undefined;
	/** How long ago the allocator was asked, in ms. */
	readonly askedMsAgo: number;
	/** Whether a pause kept this host from asking the store or its allocators. */
	readonly isSkipped: boolean;
	/** The version of the configuration that this host serves by. */
	readonly version: number;
	/** What the request lacks beyond the rights that this host has, in tokens. */
	readonly missing: number;
};

/**
Decides by the word of an allocator whether a request that lacks rights is refused for good (status 402). Pure.

The word counts for as long as a record of the store that this host had read itself. An allocator that does not know the newest configuration
may miss a top-up, so its word does not count.
*/
export const isReportedExhausted = ({left, askedMsAgo, isSkipped, version, missing}: Inputs): boolean =>
	left !== undefined && left.version >= version && left.ageMs + askedMsAgo < maxProofAgeMs(isSkipped) && left.tokens < missing;

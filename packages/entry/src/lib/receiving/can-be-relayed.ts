import {hasNoChunks, httpStatus} from '@deckwheel/core';

type Inputs = {
	readonly status: number;
	/** Whether the endpoint stated the length of the body. */
	readonly hasLength: boolean;
	/** The version of HTTP that the caller speaks. */
	readonly httpVersion: string;
	/** Whether the request may run at another endpoint if this attempt fails. */
	readonly mayMove: boolean;
	/** Whether the caller has got a part of a response already. */
	readonly hasBegun: boolean;
};

/**
Whether a response may be relayed to its caller before it is whole. Pure.

A caller of HTTP/1.0 would take the break of a body without a length for its end. An error is asked for elsewhere where that is possible, and after a
part of another response none can follow.
*/
export const canBeRelayed = ({status, hasLength, httpVersion, mayMove, hasBegun}: Inputs): boolean => {
	const isDropped = hasBegun || (mayMove && status >= httpStatus.internalServerError);
	return !isDropped && (hasLength || !hasNoChunks(httpVersion));
};

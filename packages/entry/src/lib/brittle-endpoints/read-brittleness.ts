import type {IncomingHttpHeaders} from 'node:http';

const decimalNumber = /^\d+(\.\d+)?$/;

/**
Reads how many requests a second an endpoint may turn away before it crashes, from the headers of a response. Pure.

@returns `undefined` if the endpoint does not say that it is brittle, or not in a positive decimal number.
*/
export const readBrittleness = (headers: IncomingHttpHeaders, headerName: string): number | undefined => {
	const text = headers[headerName];
	const perSecond = typeof text === 'string' && decimalNumber.test(text) ? Number(text) : 0;
	return perSecond > 0 ? perSecond : undefined;
};

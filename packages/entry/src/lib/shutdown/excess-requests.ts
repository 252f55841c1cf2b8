/** The time that a host on a slice of a core takes to end one request with a final response, in ms. */
const endRequestMs = 1.5;

type Inputs = {
	/** The number of open requests. */
	readonly open: number;
	/** When the last response has to be written, in monotonic ms. */
	readonly endBy: number;
	/** Monotonic ms. */
	readonly now: number;
};

/** Counts the open requests that a host which is shutting down has to end now, since later it could not end all that are open any more. Pure. */
export const excessRequests = ({open, endBy, now}: Inputs): number =>
	Math.max(0, open - Math.floor(Math.max(0, endBy - now) / endRequestMs));

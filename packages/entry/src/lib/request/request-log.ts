import type {HostRefusal} from '../admission/host-refusal.js';

type Fields = Readonly<Record<string, string | number | undefined>>;

/** Logs the end of one request. */
export type RequestLog = {
	/** Logs that the host refuses the request, and sends the refusal to the caller. */
	readonly refused: (refusal: HostRefusal, fields?: Fields) => void;
	/** Logs that the caller got a whole response of an endpoint. `status`: its HTTP status. */
	readonly answered: (status: number | undefined, fields: Fields) => void;
	/** Logs that the caller left before it had a whole response. */
	readonly left: (fields: Fields) => void;
};

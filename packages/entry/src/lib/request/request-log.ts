import type {HostRefusal} from '../admission/host-refusal.js';
import type {RequestResult} from './request-result.js';

type Fields = Readonly<Record<string, string | number | undefined>>;

/** Logs the end of one request. */
export type RequestLog = {
	/** Logs that the host refuses the request, and sends the refusal to the caller. */
	readonly refused: (refusal: HostRefusal, fields?: Fields) => void;
	/** Logs that the caller got a whole response of an endpoint, with its HTTP status and its timing. */
	readonly answered: (result: Pick<RequestResult, 'status' | 'timing'>, fields: Fields) => void;
	/** Logs that the caller left before it had a whole response, with the times of what led to that. */
	readonly left: (result: Pick<RequestResult, 'timing' | 'leftAt'>, fields: Fields) => void;
};

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AdmittedRequest} from '../admission/admitted-request.js';

/** One admitted request with its whole body, ready to be sent. */
export type RequestInputs = {
	/** Names the request on its whole way; callers choose it. */
	readonly id: string;
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly body: Uint8Array;
	readonly admitted: AdmittedRequest;
	/** The same each time that the caller sends the request again (`fingerprintOf`). */
	readonly fingerprint: () => string;
	/** Sets aside what one more run may cost; `false` where rights are short. */
	readonly reserveRun: () => Promise<boolean>;
};

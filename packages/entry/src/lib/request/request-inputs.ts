import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AdmittedRequest} from '../admission/admitted-request.js';

/** What is needed to run one admitted request. */
export type RequestInputs = {
	readonly id: string;
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly body: Uint8Array;
	readonly admission: AdmittedRequest;
	/** Monotonic ms. */
	readonly deadline: number;
	/** Sets aside what one more run may cost; `false` where rights are short. */
	readonly reserveRun: () => Promise<boolean>;
};

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestSubjects} from '@deckwheel/poison';
import type {AdmittedRequest} from '../admission/admitted-request.js';
import type {StreamPlan} from './stream-plan.js';

/** One admitted request with its whole body, ready to be forwarded. */
export type RequestInputs = {
	/** The id that the caller gave the request. Endpoints get it, and their responses repeat it. */
	readonly id: string;
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly body: Uint8Array;
	readonly admitted: AdmittedRequest;
	/** When the request began to wait at this host, in monotonic ms. */
	readonly receivedAt: number;
	/** Which endpoints it may be sent to, by where its stream began. */
	readonly plan: StreamPlan;
	/** What crashes of endpoints under the request are held against (`fingerprintOf`, `sharedPartsOf`). */
	readonly subjects: RequestSubjects;
	/** Reserves the most that one more run can cost; `false` where rights are short. */
	readonly reserveRun: () => Promise<boolean>;
};

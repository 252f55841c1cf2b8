import type {IncomingMessage} from 'node:http';
import type {Framing} from '@deckwheel/host-kit';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {TrackedRun} from '../load-sharing/tracked-run.js';
import type {ByteCount} from '../relaying/create-byte-count.js';
import type {ResponseWriter} from '../relaying/response-writer.js';
import type {RequestInputs} from '../request/request-inputs.js';
import type {TrackedAttempt} from '../sending/tracked-attempt.js';
import type {TunnelTicket} from '../tunnels/tunnel-ticket.js';
import type {CallerWait} from './caller-wait.js';

/** The response to one attempt, whose head has come. */
export type ReceivedResponse = {
	readonly response: IncomingMessage;
	/** The tunnel through which it comes; `undefined` where it comes over a connection of this host. */
	readonly tunnel: TunnelTicket | undefined;
	readonly request: RequestInputs;
	readonly endpoint: ListedEndpoint;
	/** When the request was sent, in monotonic ms. */
	readonly sentAt: number;
	/** Resolves once another host keeps where the stream begins, or none can or needs to be told. */
	readonly originTold: Promise<void>;
	/** The id of the last event that the caller got, after which a stream is resumed; `undefined` where it got none. */
	readonly lastEventId: string | undefined;
	/** Whether the request may run at another endpoint if this attempt fails. */
	readonly mayMove: boolean;
	readonly writer: ResponseWriter;
	/** Called each time before events of a stream are relayed to the caller. */
	readonly onEvents: () => void;
	/** Called when the first part of a body that is too large to be held is relayed to the caller. */
	readonly onBodyBegun: () => void;
	/** Is told when the response waits for its caller while its body is relayed. */
	readonly callerWait: CallerWait;
	readonly tracked: Pick<TrackedAttempt, 'signal' | 'noteHeard'>;
	readonly run: Pick<TrackedRun, 'noteEvent'>;
};

/** A response of which is known how its end is told. */
export type FramedResponse = ReceivedResponse & {
	readonly framing: Framing;
	/** Counts the bytes of the body that came. */
	readonly size: ByteCount;
};

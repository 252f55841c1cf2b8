import type {Log} from '../../adapter/log.js';
import type {Schedule} from '../../adapter/schedule.js';
import {addLinkBytes} from './add-link-bytes.js';
import {createSizeEstimates} from './create-size-estimates.js';
import {decideTransfer} from './decide-transfer.js';
import {drainLinkLoad} from './drain-link-load.js';
import {initialLinkLoad} from './initial-link-load.js';
import type {LinkAdmission} from './link-admission.js';
import {linkBytesPerMs} from './link-bytes-per-ms.js';

/** The size of the head of a request, in bytes: what callers send besides the body, such as the parts of the prompt. */
const headBytes = 600;

/**
The most that one request counts, in ms of the link's full rate. Connections share a link, so that a larger body takes longer and leaves room for other
requests.
*/
const maxTransferMs = 500;

/** The link counts as full until no request was refused for this time, in ms, so that a burst of refusals is one pair of log lines. */
const calmMs = 1000;

type Options = {
	/** The rate of the link in each direction, in megabits per second. */
	readonly linkMbps: number;
	/** The number of requests that are open now. */
	readonly open: () => number;
	readonly schedule: Schedule;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Requests that were refused since the link became full. */
type FullPeriod = {
	readonly beganAt: number;
	readonly lastRefusedAt: number;
	readonly refused: number;
	/** How many of the refused requests had the most urgent rank. */
	readonly refusedUrgent: number;
};

/**
Creates the admission of requests by the load of this host's link, which starts idle.

The link carries each request and each response twice. How large a response becomes is learned by route. Both sizes are corrected once they are known, so
that a wrong expectation lasts no longer than its request.
*/
export const createLinkAdmission = ({linkMbps, open, schedule, log, now}: Options): LinkAdmission => {
	const bytesPerMs = linkBytesPerMs(linkMbps);
	const maxTransferBytes = bytesPerMs * maxTransferMs;
	const sizes = createSizeEstimates();
	let load = initialLinkLoad(now());
	let full: FullPeriod | undefined;
	let cancelCheck: () => void = () => undefined;

	const logFields = () => {
		const {in: inLoad, out} = drainLinkLoad(load, now());
		return {in_kbps: Math.round(inLoad.bytesPerMs * 8), out_kbps: Math.round(out.bytesPerMs * 8), link_mbps: linkMbps};
	};

	const correct = (bytes: number): void => {
		load = addLinkBytes(drainLinkLoad(load, now()), {inBytes: bytes, outBytes: bytes}, bytesPerMs);
	};

	const endIfCalm = (): void => {
		if (!full) {
			return;
		}

		const calmAt = full.lastRefusedAt + calmMs;
		if (now() < calmAt) {
			cancelCheck = schedule(calmAt - now(), endIfCalm);
			return;
		}

		log('link_full_ended', {
			refused: full.refused, refused_urgent: full.refusedUrgent, for_ms: Math.round(full.lastRefusedAt - full.beganAt), open: open(), ...logFields(),
		});
		full = undefined;
	};

	const noteRefused = (rank: number): void => {
		const isFirst = !full;
		const {beganAt, refused, refusedUrgent} = full ?? {beganAt: now(), refused: 0, refusedUrgent: 0};
		full = {
			beganAt, lastRefusedAt: now(), refused: refused + 1, refusedUrgent: refusedUrgent + (rank === 0 ? 1 : 0),
		};
		if (isFirst) {
			log('link_full_began', {open: open(), ...logFields()});
			cancelCheck = schedule(calmMs, endIfCalm);
		}
	};

	return {
		admit({route, rank, bodyBytes}) {
			const expected = sizes.of(route);
			let requestBytes = headBytes + (bodyBytes ?? expected.requestBytes);
			const countedRequestBytes = Math.min(requestBytes, maxTransferBytes);
			let countedBytes = Math.min(requestBytes + expected.responseBytes, maxTransferBytes);
			const decision = decideTransfer(load, {rank, requestBytes: countedRequestBytes, responseBytes: countedBytes - countedRequestBytes}, bytesPerMs, now());
			load = decision.load;
			if (!decision.isAdmitted) {
				noteRefused(rank);
				return undefined;
			}

			const recount = (bytes: number): void => {
				const nextBytes = Math.min(bytes, maxTransferBytes);
				correct(nextBytes - countedBytes);
				countedBytes = nextBytes;
			};

			let isEnded = false;
			return {
				noteBody(bytes) {
					requestBytes = headBytes + bytes;
					recount(requestBytes + expected.responseBytes);
				},
				end(responseBytes) {
					if (isEnded) {
						return;
					}

					isEnded = true;
					recount(requestBytes + responseBytes);
					sizes.note(route, {requestBytes: requestBytes - headBytes, responseBytes});
				},
			};
		},
		logFields,
		close() {
			cancelCheck();
		},
	};
};

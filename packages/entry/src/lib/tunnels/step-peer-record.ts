import type {PeerRecord} from './peer-record.js';
import type {TunnelReply} from './tunnel-reply.js';

/** For how long a peer whose own links are cut, or that takes on no work, is not asked again, in ms. */
const refusedPauseMs = 1000;

/** For how long a peer that did not reply is not asked again, in ms. */
const silentPauseMs = 3000;

/** For how long a peer that did not reach an endpoint is asked after others, in ms: it may be cut off and not know it yet. */
const doubtMs = 1000;

/** For how long a peer that opened a tunnel is asked first, in ms. Then others get their turn, so that nearer ones are found again. */
const provenMs = 5000;

/**
Updates what is remembered of a peer by its reply to a request for a tunnel. Pure.

@param reply `undefined` if the peer did not reply in time.
@param now Monotonic ms.
*/
export const stepPeerRecord = (record: PeerRecord, reply: TunnelReply | undefined, now: number): PeerRecord => {
	if (!reply) {
		return {
			...record, barredUntil: now + silentPauseMs, provenUntil: 0, isSilent: true,
		};
	}

	const {served} = reply;
	switch (reply.outcome) {
		case 'open': {
			return {
				...record, served, isSilent: false, doubtedUntil: 0, provenUntil: record.provenUntil > now ? record.provenUntil : now + provenMs,
			};
		}

		case 'unreached': {
			return {
				...record, served, isSilent: false, doubtedUntil: now + doubtMs, provenUntil: 0,
			};
		}

		case 'cut':
		case 'busy': {
			return {
				...record, served, isSilent: false, barredUntil: now + refusedPauseMs, provenUntil: 0,
			};
		}
	}
};

import type {PeerRecord} from './peer-record.js';

/** The record of a peer that was never asked. */
export const unknownPeer: PeerRecord = {
	barredUntil: 0, provenUntil: 0, doubtedUntil: 0, isSilent: false, served: 0,
};

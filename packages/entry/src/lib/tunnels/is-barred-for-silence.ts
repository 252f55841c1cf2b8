import type {PeerRecord} from './peer-record.js';

/** Whether a peer is not asked now because it did not reply. Pure; `now` is monotonic ms. */
export const isBarredForSilence = ({barredUntil, isSilent}: PeerRecord, now: number): boolean => isSilent && barredUntil > now;

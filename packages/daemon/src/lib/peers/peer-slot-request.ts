import type {PeerRequest} from './peer-request.js';

/** What a host may ask the primary of a slot for. */
export type PeerSlotRequest = (PeerRequest & {type: 'slot'})['request'];

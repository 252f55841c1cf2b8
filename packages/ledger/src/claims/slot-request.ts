import type {ClaimRequest} from './claim-request.js';
import type {ExpireRequest} from './expire-request.js';
import type {GiveBackRequest} from './give-back-request.js';
import type {GrantRequest} from './grant-request.js';
import type {LookupRequest} from './lookup-request.js';
import type {ReceiveRequest} from './receive-request.js';
import type {SettleRequest} from './settle-request.js';
import type {WantRequest} from './want-request.js';

/** A request to a slot's primary. */
export type SlotRequest =
	| ClaimRequest
	| ExpireRequest
	| GiveBackRequest
	| GrantRequest
	| LookupRequest
	| ReceiveRequest
	| SettleRequest
	| WantRequest;

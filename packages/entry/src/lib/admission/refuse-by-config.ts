import type {ConfigProof} from './config-proof.js';
import type {HostRefusal} from './host-refusal.js';
import {hostRefusals} from './host-refusals.js';

/**
Decides how a request is refused that the configuration in force does not allow. Pure.

A newer configuration may allow the request. Once one may be due that this host does not know, the host refuses the request only for now
(503), so that the caller tries another host in place of giving up.

@param refusal The refusal by the configuration in force, after which callers do not come back.
*/
export const refuseByConfig = (refusal: HostRefusal, {ageMs, applyMs}: ConfigProof): HostRefusal =>
	applyMs !== undefined && ageMs > applyMs ? hostRefusals.configUnconfirmed : refusal;

import type {Refusal} from '@deckwheel/core';

/**
Decides whether a request may be claimed in another hall after it was refused in the first. Pure.

A key that was issued just now is nobody's yet. If the hall that should claim it cannot, and nothing was sent, a key of another
hall serves as well. After a run whose outcome is unknown it would not: the request could be run, and billed, under both keys.
*/
export const mayChangeHome = (refusal: Refusal | undefined, isKeyPresented: boolean): boolean =>
	refusal?.code === 'claim_unavailable' && refusal.ran === 'not_run' && !isKeyPresented;

import type {Refusal} from '@deckwheel/core';
import type {Decision} from '../claims/decision.js';

/** A decision that refuses a request and changes nothing. */
export const refuse = (refusal: Refusal): Decision => ({ops: [], reply: {type: 'refused', refusal}});

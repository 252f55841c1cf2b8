import test from 'ava';
import type {Refusal} from '@deckwheel/core';
import {mayChangeHome} from '../lib/gateway/may-change-home.js';

const unavailable: Refusal = {code: 'claim_unavailable', message: '', ran: 'not_run'};

test('only a key that nobody presented, and that surely was not used, is changed for one of another hall', t => {
	t.true(mayChangeHome(unavailable, false));
	t.false(mayChangeHome(unavailable, true));
	t.false(mayChangeHome({...unavailable, ran: 'unknown'}, false));
	t.false(mayChangeHome({...unavailable, code: 'overloaded'}, false));
	t.false(mayChangeHome(undefined, false));
});

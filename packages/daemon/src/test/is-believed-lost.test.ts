import test from 'ava';
import {isBelievedLost} from '../lib/membership/is-believed-lost.js';

const evidence = {
	isReplaced: false, wasHeard: true, silentMs: 60_000, lostAfterMs: 5000, isListed: true, hearsOthers: true,
};

test('a host that was restarted has lost what it knew', t => {
	t.true(isBelievedLost({...evidence, isReplaced: true, silentMs: 0}));
});

test('a host that fell silent is lost, if others are still heard', t => {
	t.true(isBelievedLost(evidence));
	t.false(isBelievedLost({...evidence, silentMs: 4000}));
});

test('a host that hears nobody does not take the others for lost while the platform lists them', t => {
	t.false(isBelievedLost({...evidence, hearsOthers: false}));
	t.true(isBelievedLost({...evidence, hearsOthers: false, isListed: false}));
});

test('a new host takes nobody for lost that it never heard of and that is listed', t => {
	t.false(isBelievedLost({...evidence, wasHeard: false}));
	t.true(isBelievedLost({...evidence, wasHeard: false, isListed: false}));
});

/** Guards against streams that are refused for good while their version comes back, and against callers who come back for one that does not. */
import test from 'ava';
import type {ListedEndpoint} from '../adapter/listed-endpoint.js';
import {createListProof} from '../lib/stream-origins/create-list-proof.js';
import {createServedVersions} from '../lib/stream-origins/create-served-versions.js';

/** The time after which a version is not expected to come back to the list, in ms. */
const settledMs = 3000;

const endpoint = (version: string, {isLeaving = false, service = 's'} = {}): ListedEndpoint => ({
	id: version, instance: version, address: `${version}:1`, hall: 'a', serves: [service], slots: 1, isLeaving, version,
});

const start = () => {
	let time = 1000;
	const now = (): number => time;
	const listProof = createListProof({confirmMs: settledMs, resumedAt: () => Number.NEGATIVE_INFINITY, elapsed: now});
	const served = createServedVersions({listProof, now, elapsed: now});
	/** What a take-up is told whose version was missed before the list was confirmed last. */
	const findGone = (service: string, version: string): ReturnType<typeof served.findGone> => {
		served.findGone({service, version});
		listProof.confirm(time);
		return served.findGone({service, version});
	};

	return {
		list(...endpoints: readonly ListedEndpoint[]) {
			served.list(endpoints);
		},
		/** Whether no endpoint of the version takes requests, and none is expected to. */
		isGone(version: string, service = 's') {
			const gone = findGone(service, version);
			return gone !== undefined && gone.retryAt === undefined;
		},
		/** In how many ms the version is given up; `undefined` while it takes requests, and once it is gone. */
		givenUpIn(version: string) {
			const retryAt = findGone('s', version)?.retryAt;
			return retryAt === undefined ? undefined : retryAt - time;
		},
		/** The same by the list as it was confirmed last. */
		isGoneAsConfirmed(version: string) {
			const gone = served.findGone({service: 's', version});
			return gone !== undefined && gone.retryAt === undefined;
		},
		confirm() {
			listProof.confirm(time);
		},
		pass(ms: number) {
			time += ms;
		},
	};
};

test('a version is said to be gone right after a start', t => {
	const {list, isGone, pass} = start();
	t.false(isGone('v1'));
	list(endpoint('v2'));
	t.false(isGone('v1'));
	pass(settledMs - 1);
	t.false(isGone('v1'));
});

test('a version that was never listed is never said to be gone', t => {
	const {list, isGone, pass} = start();
	list(endpoint('v2'));
	pass(settledMs);
	t.true(isGone('v1'));
});

test('a version is said to be gone while it takes requests', t => {
	const {list, isGone, pass} = start();
	list(endpoint('v1'), endpoint('v2'));
	pass(10 * settledMs);
	t.false(isGone('v1'));
	list(endpoint('v1'));
	pass(10 * settledMs);
	t.false(isGone('v1'));
});

test('a version that left the list is said to be gone at once, or never', t => {
	const {list, isGone, pass} = start();
	list(endpoint('v1'), endpoint('v2'));
	pass(10 * settledMs);
	list(endpoint('v2'));
	t.false(isGone('v1'));
	pass(settledMs - 1);
	list(endpoint('v2'));
	t.false(isGone('v1'));
	pass(1);
	t.true(isGone('v1'));
});

test('a version whose endpoints are all leaving is never said to be gone', t => {
	const {list, isGone, pass} = start();
	list(endpoint('v1'), endpoint('v2'));
	list(endpoint('v1', {isLeaving: true}), endpoint('v2'));
	pass(settledMs);
	t.true(isGone('v1'));
});

test('a version that came back is still said to be gone', t => {
	const {list, isGone, pass} = start();
	list(endpoint('v2'));
	pass(settledMs);
	t.true(isGone('v1'));
	list(endpoint('v1'), endpoint('v2'));
	t.false(isGone('v1'));
});

test('a version of one service is taken for that of another', t => {
	const {list, isGone, pass} = start();
	list(endpoint('v1', {service: 'other'}), endpoint('v2'));
	pass(settledMs);
	t.true(isGone('v1', 's'));
	t.false(isGone('v1', 'other'));
});

test('a caller comes back for a version before it is given up, or for one that takes requests', t => {
	const {list, givenUpIn, pass} = start();
	list(endpoint('v1'), endpoint('v2'));
	t.is(givenUpIn('v1'), undefined);
	pass(10 * settledMs);
	list(endpoint('v2'));
	t.is(givenUpIn('v1'), settledMs);
	pass(settledMs - 1);
	list(endpoint('v2'));
	t.is(givenUpIn('v1'), 1);
	pass(1);
	t.is(givenUpIn('v1'), undefined);
});

test('a version is said to be gone right after the first list of a host that got none for long', t => {
	const {list, isGone, pass} = start();
	pass(10 * settledMs);
	t.false(isGone('v1'));
	list(endpoint('v2'));
	t.false(isGone('v1'));
	pass(settledMs - 1);
	t.false(isGone('v1'));
	pass(1);
	t.true(isGone('v1'));
});

test('a version is said to be gone while its service has no endpoint at all, and may come back with it', t => {
	const {list, isGone, givenUpIn, pass} = start();
	list(endpoint('v1'));
	list();
	pass(10 * settledMs);
	t.false(isGone('v1'));
	t.is(givenUpIn('v1'), undefined);
	list(endpoint('v1', {isLeaving: true}));
	t.false(isGone('v1'));
	list(endpoint('v2'));
	t.true(isGone('v1'));
});

test('a version is said to be gone by a list that was confirmed before its stream was taken up, or a long time ago', t => {
	const {list, isGoneAsConfirmed, confirm, pass} = start();
	list(endpoint('v1'));
	pass(settledMs);
	confirm();
	pass(1);
	t.false(isGoneAsConfirmed('v2'));
	pass(1);
	t.false(isGoneAsConfirmed('v2'));
	confirm();
	t.true(isGoneAsConfirmed('v2'));
	pass(settledMs);
	t.true(isGoneAsConfirmed('v2'));
	pass(1);
	t.false(isGoneAsConfirmed('v2'));
});

test('a version that came back and left the list again is said to be gone by what was confirmed before', t => {
	const {list, isGoneAsConfirmed, confirm, pass} = start();
	list(endpoint('v1'));
	pass(settledMs);
	isGoneAsConfirmed('v2');
	confirm();
	t.true(isGoneAsConfirmed('v2'));
	list(endpoint('v1'), endpoint('v2'));
	list(endpoint('v1'));
	pass(settledMs);
	t.false(isGoneAsConfirmed('v2'));
	confirm();
	t.true(isGoneAsConfirmed('v2'));
});

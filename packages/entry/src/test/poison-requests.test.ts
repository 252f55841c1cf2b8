/**
What users saw: for seconds on end, 502 and streams that broke off, for whatever ran at the model endpoints; these ended one after
the other, and their new lives as well.

Order of events: an endpoint begins to run a request and ends. The host that sent it answers 502, or sends it to a second
endpoint, which ends as well. The caller sends the same request again, to another host, which sends it on.
*/
import test from 'ava';
import {eventually, fatalPath, startCrashingFleet} from './lib/start-crashing-fleet.js';

const hostCount = 5;
const endpointCount = 10;

/** Ends after which a request counts as the one to blame. */
const endsToBlock = 3;

/** What may still be on its way when the third endpoint has ended. */
const mayFollow = 3;

type Fleet = Awaited<ReturnType<typeof startCrashingFleet>>;

const isBlockedAtAll = ({hosts}: Fleet): boolean => hosts.every(({events}) => events.some(({event}) => event === 'request_blocked'));

const launch = async (t: {teardown: (end: () => Promise<void>) => void}): Promise<Fleet> => {
	const fleet = await startCrashingFleet(hostCount, endpointCount);
	t.teardown(fleet.close);
	return fleet;
};

/** Sends the request that ends endpoints to one host after the other, until it has ended enough and the hosts have heard of it. */
const sendUntilBlocked = async (fleet: Fleet): Promise<boolean> => {
	for (let i = 0; fleet.fatalArrivals.length < endsToBlock; i++) {
		await fleet.send(i % hostCount, fatalPath);
	}

	return eventually(() => isBlockedAtAll(fleet));
};

test('a request that has ended three endpoints is sent to no more of them, whichever host it comes to', async t => {
	const fleet = await launch(t);
	await sendUntilBlocked(fleet);
	for (let i = 0; i < 2 * hostCount; i++) {
		await fleet.send(i % hostCount, fatalPath);
	}

	t.true(fleet.fatalArrivals.length <= endsToBlock + mayFollow, `${fleet.fatalArrivals.length} arrivals`);
	const other = await fleet.send(0, '/other');
	t.is(other.status, 200);
});

test('its caller is told at once that coming back is of no use for minutes', async t => {
	const fleet = await launch(t);
	await sendUntilBlocked(fleet);
	const {status, headers, body} = await fleet.send(0, fatalPath);
	t.is(status, 429);
	t.true(Number(headers['retry-after']) > 60);
	t.like(JSON.parse(body), {error: {code: 'request_blocked', ran: 'not_run'}});
});

test('a host that starts later knows of it', async t => {
	const fleet = await launch(t);
	await sendUntilBlocked(fleet);
	const late = await fleet.addHost();
	await eventually(() => fleet.hosts[late]!.events.some(({event}) => event === 'request_blocked'));
	const before = fleet.fatalArrivals.length;
	await fleet.send(late, fatalPath);
	t.is(fleet.fatalArrivals.length, before);
});

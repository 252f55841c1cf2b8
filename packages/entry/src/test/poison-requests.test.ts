/**
Guards against a request that crashes every endpoint that runs it: callers of all requests got 502 and broken streams for seconds,
because the endpoints, and their restarted processes too, crashed one after the other.

An endpoint begins to run the request and crashes. The host that forwarded the request responds with 502 or retries at a second
endpoint, which crashes as well. Then the caller sends the same request again to another host, which forwards it.

This happens when a run that broke off counts against its endpoint but never against its request, and no host knows of the crashes
that other hosts observed. In the logs of lost runs, one request was running at 32 of 32 crashes, a popular request at 10, and every
other request at one or two. Without the detector, the request of the first test reached endpoints 22 times.
*/
import test from 'ava';
import {
	eventually, fatalPath, heldPath, startCrashingFleet,
} from './lib/start-crashing-fleet.js';

const hostCount = 5;
const endpointCount = 10;

/** The number of crashes after which the hosts block a request. */
const crashesToBlock = 3;

/** The most arrivals of the request at endpoints after the third crash: runs that were already on their way. */
const maxLateArrivals = 3;

type Fleet = Awaited<ReturnType<typeof startCrashingFleet>>;

const isBlockedAtAll = ({hosts}: Fleet): boolean => hosts.every(({events}) => events.some(({event}) => event === 'request_blocked'));

const startFleet = async (t: {teardown: (end: () => Promise<void>) => void}): Promise<Fleet> => {
	const fleet = await startCrashingFleet(hostCount, endpointCount);
	t.teardown(fleet.close);
	return fleet;
};

/** Sends the request that crashes endpoints to one host after the other until it has crashed three, then waits until all hosts block it. */
const sendUntilBlocked = async (fleet: Fleet): Promise<boolean> => {
	for (let i = 0; fleet.fatalArrivals.length < crashesToBlock; i++) {
		await fleet.send(i % hostCount, fatalPath);
	}

	return eventually(() => isBlockedAtAll(fleet));
};

test('a request that has crashed three endpoints is forwarded to no further endpoint by any host', async t => {
	const fleet = await startFleet(t);
	await sendUntilBlocked(fleet);
	for (let i = 0; i < 2 * hostCount; i++) {
		await fleet.send(i % hostCount, fatalPath);
	}

	t.true(fleet.fatalArrivals.length <= crashesToBlock + maxLateArrivals, `${fleet.fatalArrivals.length} arrivals`);
	const other = await fleet.send(0, '/other');
	t.is(other.status, 200);
});

test('the caller of a blocked request gets 429 at once, with a Retry-After of more than a minute', async t => {
	const fleet = await startFleet(t);
	await sendUntilBlocked(fleet);
	const {status, headers, body} = await fleet.send(0, fatalPath);
	t.is(status, 429);
	t.true(Number(headers['retry-after']) > 60);
	t.like(JSON.parse(body), {error: {code: 'request_blocked', ran: 'not_run'}});
});

test('a host that starts later does not forward a blocked request', async t => {
	const fleet = await startFleet(t);
	await sendUntilBlocked(fleet);
	const late = await fleet.addHost();
	await eventually(() => fleet.hosts[late]!.events.some(({event}) => event === 'request_blocked'));
	const before = fleet.fatalArrivals.length;
	await fleet.send(late, fatalPath);
	t.is(fleet.fatalArrivals.length, before);
});

test('an endpoint that crashed under a run is not taken for ended before the list lacks it', async t => {
	const fleet = await startFleet(t);
	await fleet.send(0, fatalPath);
	t.true(await eventually(() => fleet.hosts.some(({events}) => events.some(({event, fields}) => event === 'endpoint_ended' && fields.how === 'crashed'))));
});

const heldRunCount = ({endpoints}: Fleet): number => endpoints.reduce((sum, {held}) => sum + held.length, 0);

/** Sends a popular request `count` times, to one host after the other, and returns its responses once endpoints run all of them. */
const sendPopular = async (fleet: Fleet, count: number): Promise<ReadonlyArray<ReturnType<Fleet['send']>>> => {
	const before = heldRunCount(fleet);
	const responses = Array.from({length: count}, async (_, i) => fleet.send(i % hostCount, heldPath));
	await eventually(() => heldRunCount(fleet) === before + count);
	return responses;
};

/** Lets endpoints complete the runs that they hold until all responses have come, and returns the HTTP statuses. */
const releaseAll = async (fleet: Fleet, responses: ReadonlyArray<ReturnType<Fleet['send']>>): Promise<readonly number[]> => {
	const statuses: number[] = [];
	const collectStatus = async (response: ReturnType<Fleet['send']>): Promise<void> => {
		const {status} = await response;
		statuses.push(status);
	};

	for (const response of responses) {
		void collectStatus(response);
	}

	await eventually(() => {
		for (const index of fleet.endpoints.keys()) {
			fleet.release(index);
		}

		return statuses.length === responses.length;
	});
	return statuses;
};

const blockedRequests = ({hosts}: Fleet): ReadonlySet<unknown> =>
	new Set(hosts.flatMap(({events}) => events.filter(({event}) => event === 'request_blocked').map(({fields}) => fields.request)));

// Most requests that are running when an endpoint crashes did not cause the crash. A response from another endpoint clears them.
test('a popular request that happens to run at crashing endpoints is still served', async t => {
	const fleet = await startFleet(t);
	for (let i = 0; i < 13; i++) {
		const responses = await sendPopular(fleet, 2);
		await fleet.crash(fleet.endpoints.findIndex(({held}) => held.length > 0));
		t.deepEqual(await releaseAll(fleet, responses), [200, 200]);
	}

	t.is(blockedRequests(fleet).size, 0);
});

test('all endpoints crashing at once, twice, blocks none of the requests that ran there', async t => {
	const fleet = await startFleet(t);
	for (let round = 0; round < 2; round++) {
		const responses = await sendPopular(fleet, 2 * endpointCount);
		await Promise.all(fleet.endpoints.map(async (_, index) => fleet.crash(index)));
		await releaseAll(fleet, responses);
	}

	t.deepEqual(await releaseAll(fleet, await sendPopular(fleet, hostCount)), [200, 200, 200, 200, 200]);
	t.is(blockedRequests(fleet).size, 0);
});

test('other requests that run beside a request that crashes endpoints are not blocked', async t => {
	const fleet = await startFleet(t);
	const popular = await sendPopular(fleet, 2 * endpointCount);
	t.true(await sendUntilBlocked(fleet));
	const statuses = await releaseAll(fleet, popular);
	t.is(statuses.length, popular.length);
	t.false(statuses.includes(429));
	t.is(blockedRequests(fleet).size, 1);
});

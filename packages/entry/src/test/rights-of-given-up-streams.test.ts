/** Guards against rights that are reserved for a stream whose request has ended, and are never returned. */
import {request} from 'node:http';
import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import {headerNames} from './lib/header-names.js';
import {createMemoryOriginStore} from './lib/memory-origin-store.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {openStream} from './lib/open-stream.js';
import {eventually} from './lib/start-crashing-fleet.js';
import {startEndpoint, type Answer} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

const budgetTokens = 1_000_000;

/** So many turns of the event loop that what needs no timer and no socket has happened. */
const turnCount = 100;

const headers = {[headerNames.tokenCount]: '10,50'};

/** Opens a stream; returns the function by which its caller leaves. */
const openToLeave = (address: string, id: string): (() => void) => {
	const [host, port] = address.split(':');
	const caller = request({
		host, port, method: 'POST', path: '/stream', agent: false, headers: {
			host: 'fleet', [headerNames.requestId]: id, [headerNames.apiKey]: 'key', ...headers,
		},
	});
	caller.on('error', () => undefined);
	caller.end();
	return () => {
		caller.destroy();
	};
};

const answerWithEvent: Answer = (_req, res) => {
	res.writeHead(200, {'content-type': 'text/event-stream'});
	res.end('id: 1\ndata: v1\n\n');
};

const answerWithError: Answer = (_req, res) => {
	res.writeHead(400, {'content-length': 0});
	res.end();
};

for (const [ending, answer, line] of [['is answered with an error', answerWithError, 'request_answered'], ['is left by its caller', () => undefined, 'request_left']] as const) {
	test(`rights are kept for good that are reserved for a stream which ${ending} before the store fails to take its origin`, async t => {
		const originStore = createMemoryOriginStore();
		const rightsStore = createMemoryRightsStore();
		let isHung = false;
		let release: () => void = () => undefined;
		const released = new Promise<void>(resolve => {
			release = resolve;
		});
		const failLate = async (): Promise<undefined> => {
			await released;
		};

		const base = await startEndpoint('e0', (req, res) => {
			if (!isHung) {
				answerWithEvent(req, res);
			}
		});
		const later = await startEndpoint('e1', answer);
		t.teardown(() => {
			base.close();
			later.close();
		});
		const {entry, callers, events} = await startHost(rightsStore, {
			originStore: {
				...originStore,
				writeVersions: async next => isHung ? failLate() : originStore.writeVersions(next),
				writeOrigins: async (host, next) => isHung ? failLate() : originStore.writeOrigins(host, next),
			},
		});
		t.teardown(async () => entry.kill());
		entry.configure(makeConfig({routes: [makeRoute({kind: 'stream', isResumable: true, maxAttempts: 4})]}, budgetTokens));
		entry.listEndpoints([{...base.listed, version: 'v1'}]);
		await openStream(callers, 'early', headers).ended;
		isHung = true;
		entry.listEndpoints([{...base.listed, version: 'v1'}, {...later.listed, version: 'v2'}]);
		const leaves = ['s0', 's1', 's2'].map(id => openToLeave(callers, id));
		t.true(await eventually(() => base.seen.length + later.seen.length === 4 && later.seen.length > 0));
		if (line === 'request_left') {
			for (const leave of leaves) {
				leave();
			}
		}

		t.true(await eventually(() => events.some(({event, fields}) => event === line && fields.endpoint === 'e1')));
		release();
		for (let turn = 0; turn < turnCount; turn++) {
			await setImmediate();
		}

		for (const leave of leaves) {
			leave();
		}

		await entry.stop();
		const holders = [...rightsStore.objects.values()].flatMap(({rights}) => Object.values(rights.budgets).flatMap(budget => Object.values(budget.holders)));
		t.deepEqual(holders.map(({reserved}) => reserved), [0]);
	});
}

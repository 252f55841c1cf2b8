import test from 'ava';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {defaultPlacing} from '../default-placing.js';
import {smallHall} from '../lib/peers/small-hall.js';
import {callHost} from './lib/call-host.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, startHost} from './lib/start-host.js';

// Guards against hosts that go by the load that others report where nobody reports any, and against a setting that changes nothing.
test('hosts of a large hall place by expected time, unless their settings say otherwise; hosts of a small hall never do', async t => {
	const startHall = async (size: number) => {
		const peers = new Map<string, ListedPeer>();
		const store = createMemoryRightsStore();
		const hosts = await Promise.all(Array.from({length: size}, async (_, index) => startHost(store, {
			host: `edge-${index}`, peers, placing: index === 1 ? {...defaultPlacing, byExpectedTime: false} : undefined,
		})));
		await Promise.all(hosts.map(async ({logged}) => logged('peers_listed', ({count}) => count === size)));
		return hosts;
	};

	const [endpoint, large, small] = await Promise.all([startEndpoint('e', (_req, res) => {
		res.end('fine');
	}), startHall(smallHall + 1), startHall(smallHall)]);
	t.teardown(async () => {
		await Promise.all([...large, ...small].map(async ({entry}) => entry.kill()));
		endpoint.close();
	});
	const reasonAt = async ({entry, callers, events, logged}: (typeof large)[number]): Promise<string> => {
		entry.configure(makeConfig());
		entry.listEndpoints([endpoint.listed]);
		const {status} = await callHost(callers);
		t.is(status, 200);
		await logged('request_answered');
		return String(events.find(({event}) => event === 'request_answered')!.fields.reason);
	};

	t.regex(await reasonAt(large[0]!), /^cost_ms=/);
	t.regex(await reasonAt(large[1]!), /^read_ms=/);
	t.regex(await reasonAt(small[0]!), /^read_ms=/);
});

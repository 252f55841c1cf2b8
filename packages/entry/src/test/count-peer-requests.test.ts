import test from 'ava';
import {fail, succeed, type Result} from '@deckwheel/core';
import type {LinkError} from '@deckwheel/mesh';
import {countPeerRequests} from '../lib/peers/count-peer-requests.js';

test('requests to peers are counted by type and result, and only those that failed count for the quiet time of their link', async t => {
	const results: Array<Result<unknown, LinkError>> = [succeed({}), fail('unknown'), fail('unreachable')];
	const quietTimesMs = [90_000, 300.4, undefined];
	const counts: Record<string, number> = {};
	const noted: unknown[] = [];
	const mesh = countPeerRequests({
		port: 0, request: async () => results.shift()!, send: () => undefined, quietMs: () => quietTimesMs.shift(), close: async () => undefined,
	}, {
		increment(name) {
			counts[name] = (counts[name] ?? 0) + 1;
		},
		recordMax(name, value) {
			counts[name] = Math.max(counts[name] ?? 0, value);
		},
	}, {
		noteAnswered() {
			noted.push('answered');
		},
		noteUnanswered(quietMs) {
			noted.push(quietMs);
		},
	});
	for (const type of ['lend', 'lend', 'news']) {
		await mesh.request('10.0.0.1:1', {type}, 100);
	}

	t.deepEqual(counts, {
		'lend:answered': 1, 'lend:unknown': 1, 'news:unreachable': 1, quietest_ms: 300,
	});
	t.deepEqual(noted, ['answered', 300.4, undefined]);
});

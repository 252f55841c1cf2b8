/** Guards against streams that go on at another software version since the store kept an origin without an answer, the stream began elsewhere, and all hosts died. */
import test from 'ava';
import {takeUpAfterDeaths} from './lib/take-up-after-deaths.js';

test('streams that began at the base version go on at the version of an attempt before, whose origin the store took without an answer', async t => {
	const written = new Set<string>();
	const {crossed} = await takeUpAfterDeaths(t, originStore => {
		const {writeOrigins} = originStore;
		let losesAnswers = true;
		Object.assign(originStore, {
			async writeOrigins(...[host, stored]: Parameters<typeof writeOrigins>) {
				if (!losesAnswers) {
					return writeOrigins(host, stored);
				}

				if (!written.has(host)) {
					written.add(host);
					await writeOrigins(host, stored);
				}

				return undefined;
			},
		});
		return () => {
			losesAnswers = false;
		};
	});
	t.deepEqual(crossed, []);
	t.true(written.size > 0, 'origins that the store took without an answer');
});

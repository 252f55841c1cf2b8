/** Guards against different requests with one part of a prompt in common that crash endpoint after endpoint, and against sound ones that are refused for it. */
import test from 'ava';
import {badPart, firstPart, startPartsFleet} from './lib/start-parts-fleet.js';

const halls = ['hall-a', 'hall-b', 'hall-a', 'hall-b', 'hall-a'];

const endpointCount = 10;

/** The number of crashes after which hosts have to know the part, whichever of them saw the crashes. */
const crashesToKnow = 5;

/** The most requests with the part that may reach endpoints afterwards. */
const maxLateArrivals = 3;

test('requests that are never alike crash endpoints by one part that they share', async t => {
	const {send, badArrivals} = await startPartsFleet(t, {halls, endpointCount});
	for (let round = 0; round < 12; round++) {
		await send(round, [firstPart, badPart, `middle-${round % 2}`]);
		await send(round + 1, [firstPart, `middle-${round % 2}`]);
	}

	t.true(badArrivals.length <= crashesToKnow + maxLateArrivals, `${badArrivals.length} arrivals`);
});

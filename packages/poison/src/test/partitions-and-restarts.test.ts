import fc from 'fast-check';
import test from 'ava';
import {createFleet} from './lib/create-fleet.js';

const hostCount = 7;
const hallCount = 3;

/** A host counts as in touch again this long after its last partition, heal or restart, in ms. */
const recoveryMs = 3000;

/** The most further endpoints that one request may crash, through hosts in touch, after its third crash. */
const maxLateCrashes = 3;

/** The number of steps of one scenario. Each takes a second at most, so a scenario is over well before a first block ends. */
const stepCount = 40;

const anyStep = fc.oneof(
	{weight: 4, arbitrary: fc.record({type: fc.constant('send' as const), host: fc.nat(hostCount - 1)})},
	{weight: 3, arbitrary: fc.record({type: fc.constant('round' as const)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('restart' as const), host: fc.nat(hostCount - 1)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('cut' as const), hall: fc.nat(hallCount - 1)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('heal' as const)})},
);

// Whichever hosts receive the request, are cut off or restart: once the request has crashed three endpoints, hosts in touch forward it
// three times at most.
test('a request crashes few endpoints even while halls are cut off and hosts restart', async t => {
	await fc.assert(fc.asyncProperty(fc.array(anyStep, {minLength: stepCount, maxLength: stepCount}), async steps => {
		const fleet = createFleet(hostCount);
		const {members} = fleet;
		const outOfTouchAt = members.map(() => Number.NEGATIVE_INFINITY);
		let crashCount = 0;
		let thirdCrashAt = Number.POSITIVE_INFINITY;
		let lateCrashCount = 0;
		const markOutOfTouch = (index: number): void => {
			outOfTouchAt[index] = fleet.time();
		};

		const send = async (index: number): Promise<void> => {
			const member = members[index]!;
			const isInTouch = member.partition === 0 && fleet.time() - outOfTouchAt[index]! > recoveryMs;
			if (fleet.isBlockedAt(member, 'r')) {
				return;
			}

			lateCrashCount += isInTouch && fleet.time() - thirdCrashAt > recoveryMs ? 1 : 0;
			crashCount++;
			await fleet.loseRun(member, 'r', `e${crashCount}`);
			thirdCrashAt = crashCount === 3 ? fleet.time() : thirdCrashAt;
		};

		await fleet.gossipRound();
		for (const step of steps) {
			switch (step.type) {
				case 'send': {
					await send(step.host);
					break;
				}

				case 'round': {
					await fleet.gossipRound();
					break;
				}

				case 'restart': {
					markOutOfTouch(step.host);
					await fleet.restart(members[step.host]!);
					break;
				}

				case 'cut':
				case 'heal': {
					for (const [index, member] of members.entries()) {
						const partition = step.type === 'cut' && member.peer.hall === `hall-${step.hall}` ? 1 : 0;
						if (member.partition !== partition) {
							markOutOfTouch(index);
						}

						member.partition = partition;
					}

					break;
				}
			}
		}

		return lateCrashCount <= maxLateCrashes;
	}), {numRuns: 300, seed: 41});
	t.pass();
});

import fc from 'fast-check';
import test from 'ava';
import {createFleet} from './lib/create-fleet.js';

const hostCount = 7;
const halls = 3;

/** A host counts as in touch again after so long without a cut or a start, in ms. */
const contactMs = 3000;

/** Endpoints that one request may end, beyond the third, at hosts in touch. */
const mayFollow = 3;

/** Steps of one course: at a second each, it is over well before a first block is. */
const steps = 40;

const anyStep = fc.oneof(
	{weight: 4, arbitrary: fc.record({type: fc.constant('send' as const), host: fc.nat(hostCount - 1)})},
	{weight: 3, arbitrary: fc.record({type: fc.constant('round' as const)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('restart' as const), host: fc.nat(hostCount - 1)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('cut' as const), hall: fc.nat(halls - 1)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('heal' as const)})},
);

// Whichever host gets it, whoever was cut off or has just started: hosts in touch send it on three times at most after it has ended
// its third endpoint.
test('a request ends few endpoints through cuts of halls and restarts of single hosts', async t => {
	await fc.assert(fc.asyncProperty(fc.array(anyStep, {minLength: steps, maxLength: steps}), async course => {
		const fleet = createFleet(hostCount);
		const {members} = fleet;
		const outOfTouchAt = members.map(() => Number.NEGATIVE_INFINITY);
		let ends = 0;
		let thirdEndAt = Number.POSITIVE_INFINITY;
		let following = 0;
		const noteTrouble = (index: number): void => {
			outOfTouchAt[index] = fleet.time();
		};

		const send = async (index: number): Promise<void> => {
			const member = members[index]!;
			const isInTouch = member.island === 0 && fleet.time() - outOfTouchAt[index]! > contactMs;
			if (fleet.isBlockedAt(member, 'r')) {
				return;
			}

			following += isInTouch && fleet.time() - thirdEndAt > contactMs ? 1 : 0;
			ends++;
			await fleet.lose(member, 'r', `e${ends}`);
			thirdEndAt = ends === 3 ? fleet.time() : thirdEndAt;
		};

		await fleet.round();
		for (const step of course) {
			switch (step.type) {
				case 'send': {
					await send(step.host);
					break;
				}

				case 'round': {
					await fleet.round();
					break;
				}

				case 'restart': {
					noteTrouble(step.host);
					await fleet.restart(members[step.host]!);
					break;
				}

				case 'cut':
				case 'heal': {
					for (const [index, member] of members.entries()) {
						const island = step.type === 'cut' && member.peer.hall === `hall-${step.hall}` ? 1 : 0;
						if (member.island !== island) {
							noteTrouble(index);
						}

						member.island = island;
					}

					break;
				}
			}
		}

		return following <= mayFollow;
	}), {numRuns: 300, seed: 41});
	t.pass();
});

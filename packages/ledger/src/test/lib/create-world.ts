import {newReplica} from '../../replica/new-replica.js';
import type {PairView} from '../../replica/pair-view.js';
import type {Pair} from '../../replica/pair.js';
import {planDraw} from '../../store/plan-draw.js';
import {planPair} from '../../replica/plan-pair.js';
import type {ReplicaEvent} from '../../replica/replica-event.js';
import type {ReplicaMessage} from '../../replica/replica-message.js';
import type {Replica} from '../../replica/replica.js';
import type {RightsObject} from '../../store/rights-object.js';
import type {SlotReply} from '../../claims/slot-reply.js';
import type {SlotRequest} from '../../claims/slot-request.js';
import {stepReplica} from '../../replica/step-replica.js';
import {transferred} from '../../account/transferred.js';
import {unallocated} from '../../store/unallocated.js';
import type {StepName} from './step-name.js';

const budget = 'b';
const hallNames = ['x', 'y'] as const;
const hostsPerHall = 3;
const keyCount = 24;
const worstCase = 10;
const limit = 60;

type Host = {readonly hall: string; id: string; isDead: boolean; replica: Replica};
type StoreWrite = {readonly by: string; readonly apply: () => boolean; readonly onAnswer: (isOk: boolean) => void};
type EngineRun = {readonly hall: string; readonly key: string; readonly number: number; readonly attempt: string; served: number | undefined};

/**
A tiny world for the ledger's decisions: two halls of three hosts, one slot, one budget, a store.

Every step is picked by the test: which message arrives or is lost with its link, which store
write takes effect and when, whose answer is lost, who dies, who believes whom to be gone.
There is no clock and no network in it.
*/
export const createWorld = () => {
	let restarts = 0;
	let attempts = 0;
	let nextId = 1;
	const hosts: Host[] = hallNames.flatMap(hall => Array.from({length: hostsPerHall}, (_, index) => {
		const id = `${hall}${index}~0`;
		return {
			hall, id, isDead: false, replica: newReplica(id, 0),
		};
	}));
	const links = new Map<string, ReplicaMessage[]>();
	const writes: StoreWrite[] = [];
	const pairs = new Map<string, {version: number; pair: Pair}>(hallNames.map(hall => [hall, {version: 0, pair: {epoch: 0, generation: 0}}]));
	const waiters = new Map<string, (reply: SlotReply) => void>();
	const engineRuns: EngineRun[] = [];
	const bills = new Map<string, number>();
	const transfers: Array<{to: string; reply: SlotReply & {type: 'given'}}> = [];
	let rights: {version: number; value: RightsObject} = {
		version: 1,
		value: {
			budgets: {
				[budget]: {
					organisation: 'o', limit, topUps: [], holders: {},
				},
			},
		},
	};
	const faults: string[] = [];

	const find = (id: string): Host | undefined => hosts.find(host => host.id === id);

	const step = (host: Host, event: ReplicaEvent): void => {
		const {replica, effects} = stepReplica(host.replica, event, 1);
		host.replica = replica;
		for (const effect of effects) {
			if (effect.type === 'send') {
				const link = `${host.id}>${effect.to}`;
				links.set(link, [...(links.get(link) ?? []), effect.message]);
			} else {
				waiters.get(`${host.id} ${effect.id}`)?.(effect.reply);
				waiters.delete(`${host.id} ${effect.id}`);
			}
		}
	};

	const ask = (host: Host, request: SlotRequest, onReply: (reply: SlotReply) => void): void => {
		const id = nextId++;
		waiters.set(`${host.id} ${id}`, onReply);
		step(host, {type: 'request', id, request});
	};

	const adopt = (host: Host, pair: Pair): void => {
		step(host, {type: 'configure', pair, holder: `${host.hall}#${pair.generation}`});
	};

	const noteBill = (key: string, reply: SlotReply): void => {
		const bill = reply.type === 'settled' || reply.type === 'answer' ? reply.bill : undefined;
		if (bill === undefined) {
			return;
		}

		if (bills.has(key) && bills.get(key) !== bill) {
			faults.push(`key ${key} was billed ${bills.get(key)} and ${bill}`);
		}

		bills.set(key, bill);
	};

	// Even keys must not be repeated. Each key has its home hall.
	const isRepeatable = (key: string): boolean => Number(key) % 2 === 1;
	const homeOf = (key: string): string => hallNames[Math.floor(Number(key) / 2) % hallNames.length]!;

	const claim = (host: Host, key: string): void => {
		const attempt = `t${attempts++}`;
		ask(host, {
			type: 'claim', budget, key, fingerprint: 'f', repeatable: isRepeatable(key), attempt, runner: 'r', endpoint: 'e', reason: '', worstCase, sendBy: 1, keepUntil: 10, keyMadeAt: undefined,
		}, reply => {
			if (reply.type !== 'run') {
				noteBill(key, reply);
				return;
			}

			if (engineRuns.some(run => run.attempt === attempt)) {
				return;
			}

			engineRuns.push({
				hall: host.hall, key, number: reply.run.number, attempt, served: undefined,
			});
		});
	};

	const settle = (host: Host, run: EngineRun, served: number): void => {
		run.served ??= served;
		ask(host, {
			type: 'settle', budget, key: run.key, run: 0, attempt: run.attempt, outcome: 'finished', served: run.served, final: true, answer: {status: 200, contentType: '', body: run.attempt},
		}, reply => {
			noteBill(run.key, reply);
		});
	};

	const write = (by: string, apply: () => boolean, onAnswer: (isOk: boolean) => void): void => {
		writes.push({by, apply, onAnswer});
	};

	const draw = (host: Host, wanted: number): void => {
		const {replica} = host;
		const isBusy = writes.some(({by}) => by === `draw ${host.id}`);
		if (replica.role !== 'primary' || replica.pending.size > 0 || isBusy) {
			return;
		}

		const account = replica.ledger.accounts.get(budget);
		const known = {
			budget, granted: account?.granted ?? 0, transferred: account ? transferred(account) : 0, rate: 0, settled: account?.settled ?? 0, billed: account?.billed ?? 0,
		};
		const {version} = rights;
		const plan = planDraw(rights.value, replica.ledger.holder, replica.pair.epoch, [{...known, wants: () => wanted}]);
		if (plan.type === 'deposed') {
			return;
		}

		// As the daemon does: what the store holds already needs no write.
		if (JSON.stringify(plan.rights) === JSON.stringify(rights.value)) {
			ask(host, {type: 'grant', grants: plan.grants}, () => undefined);
			return;
		}

		const apply = (): boolean => {
			if (rights.version !== version) {
				return false;
			}

			rights = {version: version + 1, value: plan.rights};
			return true;
		};

		write(`draw ${host.id}`, apply, isOk => {
			if (isOk) {
				ask(host, {type: 'grant', grants: plan.grants}, () => undefined);
			}
		});
	};

	const giveBack = (host: Host, amount: number): void => {
		if (!writes.some(({by}) => by === `draw ${host.id}`)) {
			ask(host, {type: 'give_back', amounts: [{budget, amount}]}, () => undefined);
		}
	};

	const propose = (host: Host, isGone: (id: string) => boolean, isStopping: boolean): void => {
		const record = pairs.get(host.hall)!;
		adopt(host, record.pair);
		const {replica} = host;
		const live = hosts.filter(other => other.hall === host.hall && !other.isDead && !(isStopping && other === host)).map(({id}) => id);
		const view: PairView = {
			self: host.id,
			isStopping,
			live,
			isGone: id => id !== host.id && (isGone(id) || !live.includes(id)),
			isLost: id => find(id) === undefined || find(id)!.isDead,
			isSynced: () => host.replica.synced,
			isHandoverReady: () => replica.role === 'primary' && replica.pending.size === 0 && replica.acked >= replica.seq,
		};
		const next = planPair(0, record.pair, view);
		if (!next) {
			return;
		}

		const {version} = record;
		write(`pair ${host.id}`, () => {
			if (pairs.get(host.hall)!.version !== version) {
				return false;
			}

			pairs.set(host.hall, {version: version + 1, pair: next});
			return true;
		}, () => {
			adopt(host, pairs.get(host.hall)!.pair);
		});
	};

	const check = (): void => {
		const value = rights.value.budgets[budget]!;
		if (unallocated(value) < 0) {
			faults.push('the store granted more than the limit');
		}

		const worst = engineRuns.map(({served}) => served ?? worstCase);
		if (worst.reduce((sum, tokens) => sum + tokens, 0) > limit) {
			faults.push('runs may cost more than the limit');
		}

		for (let key = 0; key < keyCount; key++) {
			const runs = engineRuns.filter(run => run.key === String(key));
			if (!isRepeatable(String(key)) && runs.length > 1) {
				faults.push(`key ${key} may not be repeated and ran ${runs.length} times`);
			}
		}
	};

	const pick = <T>(items: readonly T[], index: number): T | undefined => items.length === 0 ? undefined : items[index % items.length];

	const pickLink = (index: number): string | undefined =>
		pick([...links.keys()].filter(name => links.get(name)!.length > 0), index);

	const pickLive = (index: number, hall?: string): Host | undefined =>
		pick(hosts.filter(host => !host.isDead && (hall === undefined || host.hall === hall)), index);

	const deliver = (link: string): void => {
		const [from, to] = link.split('>');
		const message = links.get(link)!.shift()!;
		const target = find(to!);
		if (target && !target.isDead) {
			step(target, {type: 'message', from: from!, message});
		}
	};

	// A store write takes effect. Its answer arrives, or is lost.
	const finishWrite = (index: number, isAnswered: boolean): void => {
		const [done] = writes.splice(index % Math.max(1, writes.length), 1);
		const isOk = done?.apply() ?? false;
		const writer = done && find(done.by.split(' ')[1]!);
		if (done && writer && !writer.isDead && isAnswered) {
			done.onAnswer(isOk);
		}
	};

	const restart = (host: Host): void => {
		host.id = `${host.id.split('~')[0]}~${++restarts}`;
		host.isDead = false;
		host.replica = newReplica(host.id, 0);
	};

	// Another hall asks for rights; the reply may arrive late, twice, or never.
	const want = (host: Host, tokens: number): void => {
		const asker = hosts.find(other => other.hall !== host.hall && other.replica.role === 'primary' && !other.isDead);
		if (!asker) {
			return;
		}

		const {holder} = asker.replica.ledger;
		ask(host, {
			type: 'want', budget, holder, tokens,
		}, reply => {
			if (reply.type === 'given') {
				transfers.push({to: holder, reply});
			}
		});
	};

	// The reply comes to the hall's primary of that moment, which may be of a later generation than the one that asked.
	const receive = (index: number): void => {
		const transfer = pick(transfers, index);
		const target = hosts.find(({hall, replica, isDead}) => hall === transfer?.to.split('#')[0] && replica.role === 'primary' && !isDead);
		if (transfer && target) {
			ask(target, {
				type: 'receive', budget, to: transfer.to, from: transfer.reply.from, total: transfer.reply.total,
			}, () => undefined);
		}
	};

	const withLive = (index: number, work: (host: Host) => void): void => {
		const host = pickLive(index);
		if (host) {
			work(host);
		}
	};

	/** Every step that the test may pick, by name; two numbers say which host, message or key it concerns. */
	const steps: Readonly<Record<StepName, (a: number, b: number) => void>> = {
		deliver(a) {
			const link = pickLink(a);
			if (link) {
				deliver(link);
			}
		},
		breakLink(a) {
			const link = pickLink(a);
			if (link) {
				links.set(link, []);
			}
		},
		claim(a, b) {
			const key = String(b % keyCount);
			const target = pickLive(a, homeOf(key));
			if (target) {
				claim(target, key);
			}
		},
		settle(a, b) {
			const run = pick(engineRuns, b);
			const target = run && pickLive(a, run.hall);
			if (target) {
				settle(target, run, 1 + (b % worstCase));
			}
		},
		draw(a, b) {
			withLive(a, host => {
				draw(host, b % 60);
			});
		},
		finishWrite(a, b) {
			finishWrite(a, b % 3 !== 0);
		},
		propose(a, b) {
			withLive(a, host => {
				propose(host, () => b % 2 === 0, b % 5 === 0);
			});
		},
		learnPair(a) {
			withLive(a, host => {
				adopt(host, pairs.get(host.hall)!.pair);
			});
		},
		die(a, b) {
			withLive(a, host => {
				host.isDead = b % 4 === 0;
			});
		},
		restart(a) {
			const dead = pick(hosts.filter(({isDead}) => isDead), a);
			if (dead) {
				restart(dead);
			}
		},
		resync(a) {
			withLive(a, host => {
				step(host, {type: 'resync'});
			});
		},
		giveBack(a, b) {
			withLive(a, host => {
				giveBack(host, b % 20);
			});
		},
		want(a, b) {
			withLive(a, host => {
				want(host, b % 30);
			});
		},
		receive(a) {
			receive(a);
		},
	};

	/** Carries out one step and checks what must always hold. */
	const act = (name: StepName, a: number, b: number): void => {
		steps[name](a, b);
		check();
	};

	// Both halls begin with a pair that is in step, so that the random steps start from service.
	for (const hall of hallNames) {
		const [first, second] = hosts.filter(host => host.hall === hall);
		pairs.set(hall, {
			version: 1,
			pair: {
				epoch: 1, generation: 1, primary: first!.id, backup: second!.id,
			},
		});
		adopt(second!, pairs.get(hall)!.pair);
		adopt(first!, pairs.get(hall)!.pair);
		for (const [from, to] of [[first!, second!], [second!, first!]] as const) {
			for (const message of links.get(`${from.id}>${to.id}`) ?? []) {
				step(to, {type: 'message', from: from.id, message});
			}

			links.set(`${from.id}>${to.id}`, []);
		}

		draw(first!, 30);
		const [drawn] = writes.splice(0, 1);
		drawn?.onAnswer(drawn.apply());
	}

	return {
		act,
		faults,
		/** How much happened, to show that a test exercised something. */
		counts: () => ({runs: engineRuns.length, bills: bills.size, restarts}),
	};
};

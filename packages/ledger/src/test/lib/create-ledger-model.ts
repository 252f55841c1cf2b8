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

type Host = {readonly hall: string; id: string; isCrashed: boolean; replica: Replica};
/** A write to the store that has not taken effect yet. `origin` says what the write is for and which incarnation makes it, as in `draw x0~0`. */
type StoreWrite = {readonly origin: string; readonly apply: () => boolean; readonly onReply: (isOk: boolean) => void};
/** A run as its endpoint knows it. `served` is in tokens, and `undefined` while the run is open. */
type EndpointRun = {readonly hall: string; readonly key: string; readonly number: number; readonly attempt: string; served: number | undefined};

/**
Creates a model of a small system for tests of the ledger's decisions: two halls of three hosts, one slot, one budget and a store.

The test picks every step: which message is delivered or is lost with its link, which store write takes effect and when, which
confirmation of a write is lost, which host crashes, and which hosts a host believes to be gone. The model has no clock and no network.
*/
export const createLedgerModel = () => {
	let restarts = 0;
	let attempts = 0;
	let nextId = 1;
	const hosts: Host[] = hallNames.flatMap(hall => Array.from({length: hostsPerHall}, (_, index) => {
		const id = `${hall}${index}~0`;
		return {
			hall, id, isCrashed: false, replica: newReplica(id, 0),
		};
	}));
	const links = new Map<string, ReplicaMessage[]>();
	const writes: StoreWrite[] = [];
	const pairs = new Map<string, {version: number; pair: Pair}>(hallNames.map(hall => [hall, {version: 0, pair: {epoch: 0, generation: 0}}]));
	const replyHandlers = new Map<string, (reply: SlotReply) => void>();
	const endpointRuns: EndpointRun[] = [];
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
	const violations: string[] = [];

	const findHost = (id: string): Host | undefined => hosts.find(host => host.id === id);

	const step = (host: Host, event: ReplicaEvent): void => {
		const {replica, effects} = stepReplica(host.replica, event, 1);
		host.replica = replica;
		for (const effect of effects) {
			if (effect.type === 'send') {
				const link = `${host.id}>${effect.to}`;
				links.set(link, [...(links.get(link) ?? []), effect.message]);
			} else {
				replyHandlers.get(`${host.id} ${effect.id}`)?.(effect.reply);
				replyHandlers.delete(`${host.id} ${effect.id}`);
			}
		}
	};

	const submit = (host: Host, request: SlotRequest, onReply: (reply: SlotReply) => void): void => {
		const id = nextId++;
		replyHandlers.set(`${host.id} ${id}`, onReply);
		step(host, {type: 'request', id, request});
	};

	const configure = (host: Host, pair: Pair): void => {
		step(host, {type: 'configure', pair, holder: `${host.hall}#${pair.generation}`});
	};

	const recordBill = (key: string, reply: SlotReply): void => {
		const bill = reply.type === 'settled' || reply.type === 'answer' ? reply.bill : undefined;
		if (bill === undefined) {
			return;
		}

		if (bills.has(key) && bills.get(key) !== bill) {
			violations.push(`key ${key} was billed ${bills.get(key)} and ${bill}`);
		}

		bills.set(key, bill);
	};

	// A request with an even key must not be repeated. Each key has a home hall, where its claim is held.
	const isRepeatable = (key: string): boolean => Number(key) % 2 === 1;
	const homeHallOf = (key: string): string => hallNames[Math.floor(Number(key) / 2) % hallNames.length]!;

	const claim = (host: Host, key: string): void => {
		const attempt = `t${attempts++}`;
		submit(host, {
			type: 'claim', budget, key, fingerprint: 'f', repeatable: isRepeatable(key), attempt, runner: 'r', endpoint: 'e', reason: '', worstCase, sendBy: 1, keepUntil: 10, keyMadeAt: undefined,
		}, reply => {
			if (reply.type !== 'run') {
				recordBill(key, reply);
				return;
			}

			if (endpointRuns.some(run => run.attempt === attempt)) {
				return;
			}

			endpointRuns.push({
				hall: host.hall, key, number: reply.run.number, attempt, served: undefined,
			});
		});
	};

	const settle = (host: Host, run: EndpointRun, served: number): void => {
		run.served ??= served;
		submit(host, {
			type: 'settle', budget, key: run.key, run: 0, attempt: run.attempt, outcome: 'finished', served: run.served, final: true, answer: {status: 200, contentType: '', body: run.attempt},
		}, reply => {
			recordBill(run.key, reply);
		});
	};

	const startWrite = (origin: string, apply: () => boolean, onReply: (isOk: boolean) => void): void => {
		writes.push({origin, apply, onReply});
	};

	const draw = (host: Host, drawTokens: number): void => {
		const {replica} = host;
		const isBusy = writes.some(({origin}) => origin === `draw ${host.id}`);
		if (replica.role !== 'primary' || replica.pending.size > 0 || isBusy) {
			return;
		}

		const account = replica.ledger.accounts.get(budget);
		const ownTotals = {
			budget, granted: account?.granted ?? 0, transferred: account ? transferred(account) : 0, rate: 0, settled: account?.settled ?? 0, billed: account?.billed ?? 0,
		};
		const {version} = rights;
		const plan = planDraw(rights.value, replica.ledger.holder, replica.pair.epoch, [{...ownTotals, wants: () => drawTokens}]);
		if (plan.type === 'deposed') {
			return;
		}

		// As in `deckwheeld`, a plan that changes nothing in the store needs no write.
		if (JSON.stringify(plan.rights) === JSON.stringify(rights.value)) {
			submit(host, {type: 'grant', grants: plan.grants}, () => undefined);
			return;
		}

		const apply = (): boolean => {
			if (rights.version !== version) {
				return false;
			}

			rights = {version: version + 1, value: plan.rights};
			return true;
		};

		startWrite(`draw ${host.id}`, apply, isOk => {
			if (isOk) {
				submit(host, {type: 'grant', grants: plan.grants}, () => undefined);
			}
		});
	};

	const giveBack = (host: Host, amount: number): void => {
		if (!writes.some(({origin}) => origin === `draw ${host.id}`)) {
			submit(host, {type: 'give_back', amounts: [{budget, amount}]}, () => undefined);
		}
	};

	const propose = (host: Host, isGone: (id: string) => boolean, isStopping: boolean): void => {
		const record = pairs.get(host.hall)!;
		configure(host, record.pair);
		const {replica} = host;
		const live = hosts.filter(other => other.hall === host.hall && !other.isCrashed && !(isStopping && other === host)).map(({id}) => id);
		const view: PairView = {
			self: host.id,
			isStopping,
			live,
			isGone: id => id !== host.id && (isGone(id) || !live.includes(id)),
			isLost: id => findHost(id) === undefined || findHost(id)!.isCrashed,
			isSynced: () => host.replica.synced,
			isHandoverReady: () => replica.role === 'primary' && replica.pending.size === 0 && replica.acked >= replica.seq,
		};
		const next = planPair(0, record.pair, view);
		if (!next) {
			return;
		}

		const {version} = record;
		startWrite(`pair ${host.id}`, () => {
			if (pairs.get(host.hall)!.version !== version) {
				return false;
			}

			pairs.set(host.hall, {version: version + 1, pair: next});
			return true;
		}, () => {
			configure(host, pairs.get(host.hall)!.pair);
		});
	};

	const check = (): void => {
		const value = rights.value.budgets[budget]!;
		if (unallocated(value) < 0) {
			violations.push('the store granted more than the limit');
		}

		const worstCosts = endpointRuns.map(({served}) => served ?? worstCase);
		if (worstCosts.reduce((sum, tokens) => sum + tokens, 0) > limit) {
			violations.push('runs may cost more than the limit');
		}

		for (let key = 0; key < keyCount; key++) {
			const runs = endpointRuns.filter(run => run.key === String(key));
			if (!isRepeatable(String(key)) && runs.length > 1) {
				violations.push(`key ${key} may not be repeated and ran ${runs.length} times`);
			}
		}
	};

	const pick = <T>(items: readonly T[], index: number): T | undefined => items.length === 0 ? undefined : items[index % items.length];

	const pickWaitingLink = (index: number): string | undefined =>
		pick([...links.keys()].filter(name => links.get(name)!.length > 0), index);

	const pickLiveHost = (index: number, hall?: string): Host | undefined =>
		pick(hosts.filter(host => !host.isCrashed && (hall === undefined || host.hall === hall)), index);

	const deliver = (link: string): void => {
		const [from, to] = link.split('>');
		const message = links.get(link)!.shift()!;
		const target = findHost(to!);
		if (target && !target.isCrashed) {
			step(target, {type: 'message', from: from!, message});
		}
	};

	// A store write takes effect, and the store's confirmation arrives or is lost.
	const finishWrite = (index: number, isReplyDelivered: boolean): void => {
		const [finished] = writes.splice(index % Math.max(1, writes.length), 1);
		const isOk = finished?.apply() ?? false;
		const writer = finished && findHost(finished.origin.split(' ')[1]!);
		if (finished && writer && !writer.isCrashed && isReplyDelivered) {
			finished.onReply(isOk);
		}
	};

	const restart = (host: Host): void => {
		host.id = `${host.id.split('~')[0]}~${++restarts}`;
		host.isCrashed = false;
		host.replica = newReplica(host.id, 0);
	};

	// The primary of another hall asks the lender for rights. The reply may arrive late, twice, or never (`receive`).
	const requestRights = (lender: Host, tokens: number): void => {
		const borrower = hosts.find(other => other.hall !== lender.hall && other.replica.role === 'primary' && !other.isCrashed);
		if (!borrower) {
			return;
		}

		const {holder} = borrower.replica.ledger;
		submit(lender, {
			type: 'want', budget, holder, tokens,
		}, reply => {
			if (reply.type === 'given') {
				transfers.push({to: holder, reply});
			}
		});
	};

	// The reply goes to the current primary of the hall that asked, which may be of a later generation than the one that asked.
	const receive = (index: number): void => {
		const transfer = pick(transfers, index);
		const target = hosts.find(({hall, replica, isCrashed}) => hall === transfer?.to.split('#')[0] && replica.role === 'primary' && !isCrashed);
		if (transfer && target) {
			submit(target, {
				type: 'receive', budget, to: transfer.to, from: transfer.reply.from, total: transfer.reply.total,
			}, () => undefined);
		}
	};

	const withLiveHost = (index: number, work: (host: Host) => void): void => {
		const host = pickLiveHost(index);
		if (host) {
			work(host);
		}
	};

	/** Every step that the test can pick, by name. The two numbers choose the host, message, key or amount of the step. */
	const steps: Readonly<Record<StepName, (a: number, b: number) => void>> = {
		deliver(a) {
			const link = pickWaitingLink(a);
			if (link) {
				deliver(link);
			}
		},
		breakLink(a) {
			const link = pickWaitingLink(a);
			if (link) {
				links.set(link, []);
			}
		},
		claim(a, b) {
			const key = String(b % keyCount);
			const target = pickLiveHost(a, homeHallOf(key));
			if (target) {
				claim(target, key);
			}
		},
		settle(a, b) {
			const run = pick(endpointRuns, b);
			const target = run && pickLiveHost(a, run.hall);
			if (target) {
				settle(target, run, 1 + (b % worstCase));
			}
		},
		draw(a, b) {
			withLiveHost(a, host => {
				draw(host, b % 60);
			});
		},
		finishWrite(a, b) {
			finishWrite(a, b % 3 !== 0);
		},
		propose(a, b) {
			withLiveHost(a, host => {
				propose(host, () => b % 2 === 0, b % 5 === 0);
			});
		},
		learnPair(a) {
			withLiveHost(a, host => {
				configure(host, pairs.get(host.hall)!.pair);
			});
		},
		crash(a, b) {
			withLiveHost(a, host => {
				host.isCrashed = b % 4 === 0;
			});
		},
		restart(a) {
			const crashed = pick(hosts.filter(({isCrashed}) => isCrashed), a);
			if (crashed) {
				restart(crashed);
			}
		},
		resync(a) {
			withLiveHost(a, host => {
				step(host, {type: 'resync'});
			});
		},
		giveBack(a, b) {
			withLiveHost(a, host => {
				giveBack(host, b % 20);
			});
		},
		want(a, b) {
			withLiveHost(a, host => {
				requestRights(host, b % 30);
			});
		},
		receive(a) {
			receive(a);
		},
	};

	/** Carries out one step and checks the rules that must hold after each step. */
	const runStep = (name: StepName, a: number, b: number): void => {
		steps[name](a, b);
		check();
	};

	// Each hall starts with a pair whose backup is synced and with a grant, so that the random steps start from hosts that serve.
	for (const hall of hallNames) {
		const [first, second] = hosts.filter(host => host.hall === hall);
		pairs.set(hall, {
			version: 1,
			pair: {
				epoch: 1, generation: 1, primary: first!.id, backup: second!.id,
			},
		});
		configure(second!, pairs.get(hall)!.pair);
		configure(first!, pairs.get(hall)!.pair);
		for (const [from, to] of [[first!, second!], [second!, first!]] as const) {
			for (const message of links.get(`${from.id}>${to.id}`) ?? []) {
				step(to, {type: 'message', from: from.id, message});
			}

			links.set(`${from.id}>${to.id}`, []);
		}

		draw(first!, 30);
		const [drawn] = writes.splice(0, 1);
		drawn?.onReply(drawn.apply());
	}

	return {
		runStep,
		/** The broken rules, one text each. */
		violations,
		/** Counts of what the steps caused, by which a test shows that runs were started at all. */
		counts: () => ({runs: endpointRuns.length, bills: bills.size, restarts}),
	};
};

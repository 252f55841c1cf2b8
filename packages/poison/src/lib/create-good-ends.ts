import {LRUCache} from 'lru-cache';

/** The most subjects of which a good end is remembered: a bound on memory. The parts that many requests share stay among them. */
const maxGoodEnds = 1000;

/** When runs last came to a good end at this host, by their subjects. */
type GoodEnds = {
	/** Notes that a run with these subjects came to a good end now. */
	readonly note: (subjects: readonly string[]) => void;
	/** Whether a run of the subject came to a good end. */
	readonly has: (subject: string) => boolean;
	/** Whether one did after this time, in monotonic ms. */
	readonly hasAfter: (subject: string, time: number) => boolean;
};

/** Creates an empty record. `now` returns monotonic ms. */
export const createGoodEnds = (now: () => number): GoodEnds => {
	const lastAt = new LRUCache<string, number>({max: maxGoodEnds});
	return {
		note(subjects) {
			for (const subject of subjects) {
				lastAt.set(subject, now());
			}
		},
		has: subject => lastAt.has(subject),
		hasAfter: (subject, time) => (lastAt.get(subject) ?? Number.NEGATIVE_INFINITY) > time,
	};
};

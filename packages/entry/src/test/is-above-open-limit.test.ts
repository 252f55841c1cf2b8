import test from 'ava';
import {isAboveOpenLimit} from '../lib/own-health/is-above-open-limit.js';

const limited = {
	openLimit: 40, open: 35, openLessUrgent: 10, rank: 0,
};

test('a host that keeps up refuses requests', t => {
	t.false(isAboveOpenLimit({
		openLimit: undefined, open: 1000, openLessUrgent: 1000, rank: 5,
	}));
});

test('a late host refuses urgent requests below its limit, or admits others into the part that is kept for urgent ones', t => {
	t.false(isAboveOpenLimit(limited));
	t.true(isAboveOpenLimit({...limited, rank: 1}));
	t.false(isAboveOpenLimit({...limited, rank: 1, open: 30}));
});

test('a late host admits requests above its limit', t => {
	t.true(isAboveOpenLimit({...limited, open: 41}));
	t.true(isAboveOpenLimit({
		...limited, open: 41, openLessUrgent: 0, rank: 1,
	}));
});

test('urgent requests that fill the limit leave nothing to others', t => {
	t.false(isAboveOpenLimit({...limited, openLessUrgent: 4, rank: 1}));
});

test('a host at its least limit refuses a less urgent request while nothing else is open', t => {
	t.false(isAboveOpenLimit({
		openLimit: 4, open: 1, openLessUrgent: 0, rank: 3,
	}));
});

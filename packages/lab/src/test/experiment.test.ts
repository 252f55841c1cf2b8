/** What the comparison of two versions reads, works out and draws. */
import test from 'ava';
import {drawDifferences} from '../experiment/draw-differences.js';
import {pairedDifference} from '../experiment/paired-difference.js';
import {readPlay} from '../experiment/read-play.js';
import {readSeeds} from '../experiment/read-seeds.js';

const printed = `built in 0.8 s; 18435 lines in 725 files
day                  own/srv  score  worth served refused failed  weakest part
trouble-1              22/33   0.00  -0.071  0.703   0.084  0.078  worst class 0.37; prices 0.217  BROKEN: GONE 1 (else 0.41)
rules broken: GONE 1

worth -0.071 = whole day 0.703 (weight 0.6) less prices
  -0.0773  1695.9 cloud calls
`;

test('the figures of a play are read from what it printed', t => {
	t.deepEqual(readPlay(printed), {
		worth: -0.071, served: 0.703, refused: 0.084, failed: 0.078, calls: 1695.9, broken: 'GONE 1',
	});
	t.is(readPlay('built in 0.8 s\n'), undefined);
});

test('a mean difference has the interval of Student\'s t', t => {
	const {pairs, mean, halfWidth} = pairedDifference([0.1, 0.2, 0.3, 0.4]);
	t.is(pairs, 4);
	t.true(Math.abs(mean - 0.25) < 1e-9);
	t.true(Math.abs(halfWidth - (3.182 * 0.129_099 / 2)) < 1e-4);
	t.is(pairedDifference([0.1]).halfWidth, Number.POSITIVE_INFINITY);
});

test('seeds are a range or a list', t => {
	t.deepEqual(readSeeds('3..5'), [3, 4, 5]);
	t.deepEqual(readSeeds('1,9'), [1, 9]);
});

test('differences are drawn as SVG', async t => {
	const svg = await drawDifferences([{
		day: 'quiet-1', figure: 'worth', mean: 0.1, low: -0.1, high: 0.3,
	}], 'one');
	t.true(svg.startsWith('<svg'));
	t.true(svg.includes('quiet-1'));
});

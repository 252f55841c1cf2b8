import test from 'ava';
import {createClientDemand} from '../lib/lending/create-client-demand.js';

test('the demand of a client since its last noted total counts once', t => {
	const demand = createClientDemand();
	t.is(demand.note('edge-1#a', 'b', 100), 100);
	t.is(demand.note('edge-1#a', 'b', 350), 250);
	t.is(demand.note('edge-1#a', 'b', 350), 0);
	t.is(demand.note('edge-1#a', 'b', 100), 0);
});

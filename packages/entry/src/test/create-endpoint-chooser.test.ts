import test from 'ava';
import {createEndpointChooser} from '../lib/choice/create-endpoint-chooser.js';

const endpoint = (id: string, hall: string) => ({
	id, hall, address: '10.0.0.1:1', serves: ['s'], slots: 1, isLeaving: false,
});

const prompt = [{id: 'shared', tokens: 100_000}, {id: 'own', tokens: 10}];

test('endpoints of a hall that is out of reach are not chosen; those of one that seems so are a last resort', t => {
	let lost = '';
	const chooser = createEndpointChooser('a', hall => hall === lost, () => 0);
	chooser.list([endpoint('near', 'a'), endpoint('far', 'b')]);
	for (let i = 0; i < 5; i++) {
		chooser.note({type: 'started', endpoint: 'near'});
	}

	t.is(chooser.choose('s', [], [], [])?.endpoint.id, 'far');
	t.is(chooser.choose('s', [], [], ['b'])?.endpoint.id, 'near');
	lost = 'b';
	t.is(chooser.choose('s', [], [], [])?.endpoint.id, 'near');
	t.is(chooser.choose('s', prompt, ['near'], []), undefined);
	lost = '';
	t.is(chooser.choose('s', prompt, ['near'], ['b'])?.endpoint.id, 'far');
});

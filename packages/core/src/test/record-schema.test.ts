/** Guards against entries of a record that a read leaves out because of their name: the next write would drop them. */
import test from 'ava';
import {z} from 'zod';
import {ownValue} from '../own-value.js';
import {recordSchema} from '../record-schema.js';

const names = ['plain', 'constructor', 'toString', '__proto__', ''];

test('an entry of a record is left out, or one that it does not have is found', t => {
	const read = recordSchema(z.number()).parse(JSON.parse(`{${names.map((name, index) => `${JSON.stringify(name)}:${index}`).join(',')}}`));
	t.deepEqual(names.map(name => ownValue(read, name)), [0, 1, 2, 3, 4]);
	t.deepEqual(names.map(name => ownValue({}, name)), names.map(() => undefined));
});

test('a record with an invalid value, or a value that is no record, is taken for valid', t => {
	const schema = recordSchema(z.number());
	t.deepEqual([{a: 'x'}, [1], null, 'a', 7, undefined].map(value => schema.safeParse(value).success), [false, false, false, false, false, false]);
	t.true(recordSchema(z.number()).optional().safeParse(undefined).success);
});

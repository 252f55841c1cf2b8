/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**'],
	},
];

export default config;

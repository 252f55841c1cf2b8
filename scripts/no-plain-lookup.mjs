// A lint rule: a record is not asked for a name from outside by a plain lookup, which also finds what every object inherits (`constructor`).
import typescript from 'typescript';

/** Types whose keys are constants of the program: node:http names headers in them, and the code asks for names that it has of its settings. */
const exemptTypes = new Set(['IncomingHttpHeaders']);

// eslint-disable-next-line no-bitwise -- The compiler's flags are bits.
const isText = type => type.isUnion() ? type.types.some(member => isText(member)) : (type.flags & typescript.TypeFlags.String) !== 0;

/** Reports `record[name]` where `name` is any text and the type of the record has a string index. */
export const noPlainLookup = {
	meta: {
		type: 'problem',
		schema: [],
		messages: {plain: 'Look a name up by `ownValue`, or keep names in a Map: a plain lookup also finds what every object inherits.'},
	},
	create(context) {
		const {program, esTreeNodeToTSNodeMap} = context.sourceCode.parserServices;
		if (!program) {
			return {};
		}

		const checker = program.getTypeChecker();
		return {
			'MemberExpression[computed=true]'(node) {
				const {expression, argumentExpression} = esTreeNodeToTSNodeMap.get(node);
				const record = checker.getNonNullableType(checker.getTypeAtLocation(expression));
				const isRecord = checker.getIndexInfoOfType(record, typescript.IndexKind.String) !== undefined;
				if (isRecord && isText(checker.getTypeAtLocation(argumentExpression)) && !exemptTypes.has(record.symbol?.name)) {
					context.report({node, messageId: 'plain'});
				}
			},
		};
	},
};

/** `npm run schemas`: writes the JSON Schemas of declarations, settings and announcements, for completion in editors. */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {declarationSchema, kindSchemas} from '@bronzebend/core';
import {announcementSchema, settingsSchema} from '@bronzebend/daemon';
import {z} from 'zod';
import {root} from './process-cluster.js';

const folder = path.join(root, 'schemas');
mkdirSync(folder, {recursive: true});
const schemas: Record<string, z.ZodType> = {
	...kindSchemas, declaration: declarationSchema, settings: settingsSchema, announcement: announcementSchema,
};
for (const [name, schema] of Object.entries(schemas)) {
	writeFileSync(path.join(folder, `${name}.json`), `${JSON.stringify(z.toJSONSchema(schema, {io: 'input'}), undefined, '\t')}\n`);
}

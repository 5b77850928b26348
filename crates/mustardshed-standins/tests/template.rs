//! Settings templates, filled in as the platform does.

use googletest::prelude::*;
use mustardshed_standins::platform::template;
use serde_json::json;

#[gtest]
fn values_are_text_or_json() {
    let fields = json!({"a": {"b": "x"}, "list": ["x", 1], "yes": true});

    let filled = template::fill(
        "{{a.b}} {{a|json}} {{list}} {{list.1}} {{yes}} {{no}}.",
        &fields,
    );

    expect_that!(filled, ok(eq("x {\"b\":\"x\"} x,1 1 true .")));
}

#[gtest]
fn sections_repeat_for_each_item() {
    let fields = json!({"list": ["x", "y"], "table": {"k": 1}, "name": "n"});
    let text = "{{#list}}{{@}}{{.|json}}{{,}}{{/list}} {{#table}}{{@}}={{.}} {{name}}{{/table}}";

    let filled = template::fill(text, &fields);

    expect_that!(filled, ok(eq("0\"x\",1\"y\" k=1 n")));
}

#[gtest]
fn sections_stand_for_values_that_are_there() {
    let fields = json!({"yes": true, "no": false, "limit": 5, "outer": {"yes": {"yes": 1}}});
    let text = "{{#yes}}a{{/yes}}{{#no}}b{{/no}}{{^no}}c{{/no}}{{#none}}d{{/none}}{{#limit}}{{.}}{{/limit}}\
                {{#outer.yes}}{{#yes}}e{{/yes}}{{/outer.yes}}";

    let filled = template::fill(text, &fields);

    expect_that!(filled, ok(eq("ac5e")));
}

#[gtest]
fn tags_without_an_end_are_errors() {
    let fields = json!({"a": true});

    let (tag, section) = (
        template::fill("{{a", &fields),
        template::fill("{{#a}}b", &fields),
    );

    expect_that!(
        tag,
        err(eq(&template::Error::UnfinishedTag("a".to_owned())))
    );
    expect_that!(
        section,
        err(eq(&template::Error::UnfinishedSection("a".to_owned())))
    );
}
